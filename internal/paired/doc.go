// Command paired compares policies by days played with the same seeds: one on a build with a
// policy, one on a build without it. It reads the bench's entries in a journal folder, in which
// each play names its build, and prints a table of the paired differences with their standard
// errors, and draws them.
//
// A plan (INI) names the comparisons; see plans/ for the ones that were made:
//
//	[long samples spread]
//	answers = longest samples of a group on one engine
//	with = c1
//	without = c1-no-long
//
// Plays are entered by scripts/play-days, which writes the name of the build into the entry.
//
// Invariant: a difference counts only if both plays have the same site, day and seed.
package main
