// Package confduty keeps the configuration in force on a host: it commits operators'
// changes to the object API, follows it, and takes higher generations from peers.
//
// Invariant: the generation in force never falls, and only whole, checked
// configurations are ever in force.
package confduty
