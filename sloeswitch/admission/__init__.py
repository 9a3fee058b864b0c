"""Agreed admission under overload: which jobs may enter the line, decided alike by all controllers.

See docs/admission.md for the design and its proof. The rows' types (`cuts`) are read by the tables; everything else is
loaded only where the feature is turned on.
"""
