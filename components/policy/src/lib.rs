//! Serving decisions: routing, admission, fairness, roles and spending.
