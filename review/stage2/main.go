//go:build review

// Command stage2 plays the cases of the second review: it starts a small deployment of the project's own
// processes with stand-ins of the platform, the servers and the clients on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is what a case found. Its exit status is 0 if the rule held, 1 if it was broken.
type verdict struct {
	broken bool
	text   string
}

// timeLimit is the longest time that a case may run.
const timeLimit = 115 * time.Second

var errCannotRun = errors.New("the case could not run")

var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"ended":     endedCase,
	"poison":    poisonCase,
	"crashloop": crashLoopCase,
	"silent":    silentCase,
	"stop":      stopCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	log := &record{start: time.Now(), out: out}
	w, err := newWorld(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.stop()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		log.addf("could not run: not ended in time")
		w.stop()
		os.Exit(2)
	}()
	v, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.addf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		log.addf("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return 1
	}
	log.addf("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}
