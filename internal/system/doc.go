// Package system holds tests of the whole system: real processes on loopback, with
// the stand-ins in the test's own process as platform, back ends, clients and judge.
//
// Invariant: a test's verdict comes from the stand-ins' logs, never from what the
// processes say of themselves, and each test ends every process it started.
package system
