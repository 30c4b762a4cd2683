package dispatch

// HeaderNames holds the names of the header fields that the upstreams understand, in canonical
// form.
type HeaderNames struct {
	// Attempt carries the id of the attempt in requests and responses.
	Attempt string
	// Instance names the expected incarnation of the upstream. Any other incarnation refuses
	// the request.
	Instance string
	// Deadline carries how long the sender waits, in milliseconds.
	Deadline string
	// NotRun marks the response to a request that did not run.
	NotRun string
	// Version names the version of the weights that the caller asks for. An upstream with another one
	// refuses the request with the status of another incarnation.
	Version string
	// FaultyUpstream names the upstream that caused a refusal.
	FaultyUpstream string
}
