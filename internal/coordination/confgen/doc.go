// Package confgen decides how a configuration becomes the next generation, which
// stored content is garbage, and which hosts watch the object API.
//
// Invariant: generations increase by conditional updates of one root object, without
// gaps unless the object API lost writes. A change is in the root's history exactly
// once, and only after all of its content is stored.
package confgen
