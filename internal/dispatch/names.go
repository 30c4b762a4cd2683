package dispatch

// Names are the header fields that the upstreams understand, in canonical form.
type Names struct {
	// Attempt carries the id of the attempt, both ways.
	Attempt string
	// Instance asks for one incarnation of an upstream: any other one refuses.
	Instance string
	// Deadline carries how many milliseconds the sender waits.
	Deadline string
	// NotRun marks an answer to a request that did not run.
	NotRun string
	// Fault names the upstream at fault in a refusal.
	Fault string
}
