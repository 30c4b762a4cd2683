package dispatch

// HeaderNames are the header fields that the upstreams understand, in canonical form.
type HeaderNames struct {
	// Attempt carries the id of the attempt, both ways.
	Attempt string
	// Instance asks for one incarnation of an upstream: any other one refuses.
	Instance string
	// Deadline carries how many milliseconds the sender waits.
	Deadline string
	// NotRun marks an answer to a request that did not run.
	NotRun string
	// FaultyUpstream names the upstream at fault in a refusal.
	FaultyUpstream string
}
