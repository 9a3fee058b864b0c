"""Admission control under overload: which jobs may enter the queue. All controllers reach the same decisions.

Terms:
    Lane: the jobs of one team, class and priority. A lane is admitted in the order of its tickets.
    Ticket: a job's sequence number, which is its stored submission time and its id.
    Cut: a lane's admission watermark. Jobs whose tickets are at or below it are admitted, later ones are deferred. A
        stored cut is never lowered, so a controller with older cuts admits a subset of the jobs that others admit.
    Row: a stored value that holds the cuts of some lanes.
    Epoch: one periodic computation of higher cuts by the coordinator.
    Deficit: the cores that a team may still admit in the deficit round robin between teams. Each round adds the team's
        quantum to it, and each admission subtracts the cores of the admitted tasks.

See docs/admission.md for the design and its proof. The tables always import `cuts` for the types of the rows; the other
modules are loaded only where the feature is enabled.
"""
