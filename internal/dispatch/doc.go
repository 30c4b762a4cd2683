// Package dispatch sends requests to upstreams over HTTP/1.1 and tells of each whether
// it may have run.
//
// A Client keeps connections to reuse, one request at a time on each. An answer is taken
// only where it carries the id of the attempt; whatever else a connection holds ends the
// connection and reaches nobody. Nothing is sent twice here: who may repeat a request is
// the caller's decision, by the verdict of the error.
package dispatch
