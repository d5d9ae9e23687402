package usage

// The messages between hosts and the stored objects of this package, for the test of package front that
// compares those of two builds.
type (
	// Message is the body of a call with counts.
	Message = message
	// Answer is the answer to it.
	Answer = answer
	// StoredReport is the stored decision of a window.
	StoredReport = storedReport
	// StoredCounts are the stored counts of the holder.
	StoredCounts = collected
)

// ReportPrefix is the prefix of the keys of stored reports, CollectedKey the key of the stored counts.
const (
	ReportPrefix = reportPrefix
	CollectedKey = collectedKey
)
