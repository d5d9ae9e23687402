// Package ctl implements oleanderctl, the operators' command-line client of an
// installation.
//
// Invariant: a command's exit code is its result code (docs/RESULT-CODES.md), and a
// command that fails with the outcome "not run" has changed nothing.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

const description = `Operates an oleanderfall installation.

A command that talks to the installation needs --control and the three key files;
each flag can also be set by the variable in its help. The exit code is the number
of the result; docs/RESULT-CODES.md lists them.`

type commands struct {
	globals

	Check             checkCommand     `cmd:"" help:"Check a folder of settings; nothing is sent."`
	Apply             applyCommand     `cmd:"" help:"Make a folder the next generation of the shared configuration."`
	Diff              diffCommand      `cmd:"" help:"Show what applying a folder would change."`
	Get               getCommand       `cmd:"" help:"Print a generation of the shared configuration."`
	History           historyCommand   `cmd:"" help:"List the accepted changes, the newest first."`
	Status            statusCommand    `cmd:"" help:"Show hosts, generations, shards and endpoints."`
	Drain             drainCommand     `cmd:"" help:"Give an endpoint or a host no new work."`
	Undrain           undrainCommand   `cmd:"" help:"End an operator's drain."`
	Report            reportCommands   `cmd:"" help:"Reports over the programs' metrics."`
	Explain           explainCommand   `cmd:"" help:"Show what happened to one request or sample."`
	Keys              keysCommand      `cmd:"" help:"Make a development set of keys."`
	SettingsReference referenceCommand `cmd:"" help:"Print the page of all settings in Markdown."`
}

type globals struct {
	Control     []string      `help:"Control program, HOST:PORT; repeat it to name others to try." placeholder:"ADDRESS" env:"OLEANDER_CONTROL"`
	Authority   string        `help:"PEM file of the authority of the installation's keys." placeholder:"FILE" env:"OLEANDER_AUTHORITY"`
	Certificate string        `help:"PEM file of your certificate." placeholder:"FILE" env:"OLEANDER_CERTIFICATE"`
	Key         string        `help:"PEM file of your private key." placeholder:"FILE" env:"OLEANDER_KEY"`
	Output      string        `help:"Form of the output: ${enum}." enum:"text,json" default:"text"`
	Timeout     time.Duration `help:"Longest time for the whole command." default:"30s"`
}

// env holds the global flags, the context and the standard output of one command run.
type env struct {
	*globals
	ctx context.Context
	out io.Writer
}

// print writes v as JSON if --output is json, and calls writeText otherwise.
func (e *env) print(v any, writeText func(io.Writer)) error {
	if e.Output == "json" {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	writeText(e.out)
	return nil
}

// Main parses args, runs one command and returns its exit code. Errors are written to
// errOut, as JSON if --output is json.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	exited, code := false, 0
	parser, err := kong.New(&c,
		kong.Name("oleanderctl"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(n int) { exited, code = true, n }),
		kong.Writers(out, errOut))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return int(resultcode.Internal)
	}
	parsed, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		return exitCode(resultcode.New(resultcode.BadRequest, "%v; see oleanderctl --help", err), c.Output, errOut)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return exitCode(parsed.Run(&env{globals: &c.globals, ctx: ctx, out: out}), c.Output, errOut)
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Code    resultcode.Code    `json:"code"`
	Name    string             `json:"name"`
	Outcome resultcode.Outcome `json:"outcome"`
	Detail  string             `json:"detail"`
}

// exitCode writes err to errOut and returns its result code. An error without a result
// code counts as Internal.
func exitCode(err error, output string, errOut io.Writer) int {
	if err == nil {
		return int(resultcode.OK)
	}
	coded := &resultcode.Error{Code: resultcode.Internal, Detail: err.Error()}
	_ = errors.As(err, &coded)
	info := coded.Code.Info()
	if output == "json" {
		_ = json.NewEncoder(errOut).Encode(errorOutput{Code: coded.Code, Name: info.Name, Outcome: info.Outcome, Detail: coded.Detail})
		return int(coded.Code)
	}
	fmt.Fprintf(errOut, "oleanderctl: %s\n%s (result %s, outcome: %s)\n", coded.Detail, info.Help, coded.Code, info.Outcome)
	return int(coded.Code)
}
