// Command lab plays the cases of the review that are scripts. It starts the project's front processes
// with the command of the deploy file and plays the store, the servers, the consumers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"planned-stop":   plannedStop,
	"cut-stream":     cutStream,
	"second-refusal": secondRefusal,
	"large-bodies":   largeBodies,
	"late-removal":   lateRemoval,
}

// children are the processes that the test has started.
var children struct {
	sync.Mutex
	list []*os.Process
}

func addChild(p *os.Process) {
	children.Lock()
	defer children.Unlock()
	children.list = append(children.list, p)
}

// endOnSignal ends all processes if the test is told to stop.
func endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	children.Lock()
	for _, p := range children.list {
		_ = p.Kill() // one that has ended is no error here
	}
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "model-server" {
		fmt.Fprintln(os.Stderr, modelServer(os.Args[2], os.Args[3]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec := newRecord()
	go endOnSignal()
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("not run:", err.Error())
	}
	if writeErr := rec.write(os.Args[2]); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
