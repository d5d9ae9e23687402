// Package confgen decides how a configuration becomes the next generation, which
// stored content is garbage, and which hosts watch the object API.
//
// Invariant: generations grow by conditional updates of one root object, without
// gaps unless the object API lost writes; a change is in the root's history exactly once, and only after all
// its content is stored.
package confgen
