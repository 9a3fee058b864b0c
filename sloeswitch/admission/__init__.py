"""Admission control under overload: which jobs may enter the queue.

Controllers that have read the same stored rows reach the same decisions.

Terms:
    Lane: the jobs of one team, class and priority. A lane is admitted in the order of its tickets.
    Ticket: a job's place in the order of submission: its stored submission time, then its id.
    Cut: a lane's admission watermark. Jobs whose tickets are at or below it are admitted, later ones are deferred:
        they stay out of the queue. A stored cut is never lowered, so a controller with older cuts admits a subset of
        the jobs that others admit.
    Row: a stored value that holds the cuts of some lanes.
    Common cut: the cut of all lanes of a row that have no higher cut of their own. Without overload it is kept ahead of
        the clock, so that new jobs are admitted at once.
    Epoch: one periodic computation of higher cuts by the coordinator.
    Free capacity: what the admitted work leaves of the machines, as an epoch computes it.
    Idle capacity: what a machine owner measured as free after placing all queued jobs, and reports to the coordinator.
    Deficit: the cores that a team may still admit in the deficit round robin between teams. Each round adds the team's
        quantum to it, and each admission subtracts the cores of the admitted tasks.

See docs/admission.md for the design and its proof. The tables always import `cuts` for the types of the rows; the other
modules are loaded only where the feature is enabled.
"""
