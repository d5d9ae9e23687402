package duties

// The stored object of this package, for the test of package front that compares those of two builds.

// Record is the stored content of the lease.
type Record = record

// LeaseKey is the store object of the lease.
const LeaseKey = leaseKey
