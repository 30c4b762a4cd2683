// Package inbound bounds what clients can make a process hold through its listeners, from the accept of a
// connection to its close: connections, bytes that the kernel holds unread, heads of requests, the time that a head
// or an idle connection may take, and the time for which a response may be left unread.
//
// A Guard has the listeners of a process. A connection that exceeds a bound is closed, or its request is refused
// as not run: none of it has reached a handler. If a listener has as many connections as it may have, a new one
// takes the place of the one that is missed least, so a crowd does not keep others out.
//
// # Locks
//
// Guard.mu guards the list of listeners, Listener.mu the set of open connections, conn.accountMu the account of a
// head. None of them is taken while another one is held; the locks of the memory budget and its accounts are taken
// while accountMu is. No I/O is done while one is held. The state of a connection is atomic; what is counted of a
// head belongs to the goroutine that reads it.
package inbound
