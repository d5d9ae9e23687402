// Command oleanderctl is the command-line client for operators.
package main

import (
	"os"

	"oleanderfall.example/oleanderfall/internal/transport/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
