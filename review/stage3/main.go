// Command stage3 plays the cases of the third review: it starts the project's own program as separate processes and
// plays the consumers, the servers and the platform, as the operators' pages describe them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE FOLDER")
		os.Exit(failed)
	}
	cases := map[string]func(*trial) (int, error){"configuration": configuration, "owners": owners}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(play(run, os.Args[2]))
}

// trial is what a case is given.
type trial struct {
	root    string
	record  *record
	trouble bool
}

func play(run func(*trial) (int, error), folder string) int {
	root, err := filepath.Abs(".")
	if err == nil {
		_, err = os.Stat(filepath.Join(root, "target", "oleanderfall"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "run in the repository after the build:", err)
		return failed
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	t := &trial{root: root, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	r.say("trouble: %v", t.trouble)
	status, err := run(t)
	if err != nil {
		r.say("the case could not run: %v", err)
		return failed
	}
	r.say("%s", map[int]string{held: "the rule held", broken: "the rule was broken"}[status])
	return status
}
