package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli has the command's arguments and flags.
type cli struct {
	Plan    string `arg:"" type:"existingfile" help:"Comparisons to make (INI)."`
	Journal string `default:"journal" type:"existingdir" help:"Folder of the bench's entries."`
	Chart   string `help:"File for a chart of the differences (PNG)."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("paired"), kong.Description("Compares policies by days played with the same seeds."))
	k.FatalIfErrorf(run(c, os.Stdout))
}

func run(c cli, out *os.File) error {
	plan, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	plays, err := readJournal(c.Journal)
	if err != nil {
		return err
	}
	rows := compare(plan, plays)
	if _, err := fmt.Fprint(out, table(rows)); err != nil {
		return Error.Wrap(err)
	}
	if c.Chart == "" {
		return nil
	}
	return drawChart(rows, c.Chart)
}
