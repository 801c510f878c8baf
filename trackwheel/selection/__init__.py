"""Choice of the target for a request, within retry budgets and limits of cold targets."""
