package gateway

// countRequest counts a caller's request to a service for its retry budget.
func (g *Gateway) countRequest(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.CountRequest(name, g.now())
}

// takeRetry takes one retry from the service's budget, and reports whether the budget allows
// it.
func (g *Gateway) takeRetry(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.TakeRetry(name, g.now())
}

// countRetrySent counts a retry whose first byte is sent now.
func (g *Gateway) countRetrySent(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.CountRetrySent(name)
}

// LogRetries logs and counts what was decided on retries since the last call, for each service for which
// a retry was wanted.
func (g *Gateway) LogRetries() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.scheduler.TakeRetryReports(g.now()) {
		g.counts.add("retries.taken", r.Taken)
		g.counts.add("retries.refused", r.Refused)
		g.counts.add("retries.sent", r.Sent)
		g.cfg.Log.Info("retry budget used", "service", r.Service, "taken", r.Taken, "refused", r.Refused, "sent", r.Sent,
			"window_requests", r.Requests, "window_spent", r.Spent, "hosts", r.Hosts, "hosts_age_ms", r.HostsAge.Milliseconds())
	}
}
