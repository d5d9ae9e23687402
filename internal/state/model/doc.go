// Package model holds the plain data types that every layer shares: identifiers,
// the shared configuration, and the facts hosts exchange about endpoints.
//
// Invariant: the package has no behaviour beyond lookups and validation helpers,
// and imports nothing of this module, so that any layer may use it.
package model
