// Package model defines the data types shared by all layers: identifiers, the shared
// configuration, and the state of hosts and endpoints that hosts exchange.
//
// Invariant: the package contains no logic beyond lookup and validation helpers and imports
// no other package of this module, so that every layer can use it.
package model
