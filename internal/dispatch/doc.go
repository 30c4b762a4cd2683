// Package dispatch sends requests to upstreams over HTTP/1.1 and states for each failed one
// whether it may have run.
//
// A Client keeps connections for reuse and sends one request at a time on each. It accepts a
// response only if the response carries the id of the attempt, or if it carries no id and is
// the first on its connection. It skips late responses to the previous attempt on the
// connection. Attempts of one request have the same id, so they go over different connections, see
// Trail. Any other data closes the connection and is never passed to a caller. The package
// sends nothing twice: its callers decide about retries by the verdict of the error.
package dispatch
