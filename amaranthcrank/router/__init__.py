"""The router: request path, key ownership and the state that both use.

Decisions are in modules without input and output (`route_table`,
`target_choice`, `wait_order`, `retry_rules`, `key_plan`); the others own
connections, tasks and state.
"""
