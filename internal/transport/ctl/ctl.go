// Package ctl is the operators' command line.
//
// Invariant: a command's exit code is the number of its result (docs/RESULT-CODES.md),
// and nothing is changed by a command that fails with an outcome of "not run".
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

type commands struct {
	Check checkCommand `cmd:"" help:"Check a folder of shared configuration; nothing is sent."`
	Keys  keysCommand  `cmd:"" help:"Make a development set of keys."`
}

// env is what the commands write to.
type env struct {
	out io.Writer
}

type checkCommand struct {
	Folder string `arg:"" help:"Folder of INI files." type:"existingdir"`
}

// Run checks the folder.
func (c *checkCommand) Run(e *env) error {
	if _, err := settings.LoadConfig(c.Folder); err != nil {
		return resultcode.New(resultcode.BadConfiguration, "the folder has errors:\n%s", err)
	}
	fmt.Fprintln(e.out, "ok")
	return nil
}

type keysCommand struct {
	Dir   string   `arg:"" help:"Folder to write to."`
	Names []string `arg:"" help:"Names of the hosts and operators."`
}

// Run writes the keys.
func (c *keysCommand) Run(*env) error { return tlsconf.WriteDevelopmentKeys(c.Dir, c.Names...) }

// Main runs one command and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("oleanderctl"), kong.Description("Operates an oleanderfall installation."), kong.UsageOnError(), kong.Writers(out, errOut))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return int(resultcode.Internal)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return int(resultcode.BadRequest)
	}
	return exitCode(parsed.Run(&env{out: out}), errOut)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return int(resultcode.OK)
	}
	fmt.Fprintln(errOut, err)
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return int(coded.Code)
	}
	return int(resultcode.Internal)
}
