// Package confmanager keeps the current configuration generation on a host: it commits
// operators' changes to the object API, follows the root object that names the accepted
// generation, and fetches higher generations from peers.
//
// Invariant: the generation in force on a host never decreases, and only complete,
// validated configurations are put in force.
package confmanager
