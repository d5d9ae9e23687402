// Package httpanswer decides what counts as an answer of an HTTP server. All programs that run on hosts read
// their answers through its Transport.
//
// net/http accepts more than the protocol allows: names of fields with a blank in them, a status below 100,
// a length beside chunks. It also takes the end of a connection for the end of an answer without a length,
// even after a reset that only the writer of the request was told of.
//
// Invariant: an answer is passed on only if each byte of its head is what RFC 9112 allows a server to send,
// and one that ends with its connection ends without an error only if nothing else has failed on that
// connection. What is no answer is an error of the call, as if the connection had broken.
package httpanswer
