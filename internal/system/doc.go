// Package system tests the whole system: real processes on loopback. The stand-ins for
// the platform, the back ends, the callers and the trainers run in the test's process.
//
// Invariant: whether requests and samples were handled correctly is judged by the logs of
// the stand-ins, never by what the processes under test report. Each test ends every
// process that it started.
package system
