"""Rate shares, concurrency limits, admission queue and retry budgets."""
