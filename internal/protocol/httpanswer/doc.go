// Package httpanswer decides what counts as an answer of an HTTP server. All programs that run on hosts read
// their answers through its Transport.
//
// net/http accepts more than the protocol allows: names of fields with a blank in them, a status below 100,
// a length beside chunks.
//
// Invariant: an answer is passed on only if each byte of its head is what RFC 9112 allows a server to send. What is no answer is an error of the call, as if the connection had broken.
package httpanswer
