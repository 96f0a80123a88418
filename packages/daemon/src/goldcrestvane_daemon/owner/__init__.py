"""Owner of shards: order, budgets, history and claims of the programs in them."""
