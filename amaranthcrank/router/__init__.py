"""The router: request path, key ownership and the state that both use.

Modules without input and output make the decisions (`route_table`,
`target_choice`, `wait_order`, `retry_rules`, `key_plan`); the others own
connections, tasks and state.
"""
