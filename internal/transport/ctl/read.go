package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// fetchConfig returns generation g and its configuration, or those in force if g is 0.
func (e *env) fetchConfig(g model.Generation) (model.Generation, *model.Config, error) {
	var reply wire.ConfigReply
	if err := e.do(wire.MethodConfig, wire.ConfigRequest{Generation: g}, &reply); err != nil {
		return 0, nil, err
	}
	config, err := settings.DecodeConfig(reply.Config)
	return reply.Generation, config, err
}

type getCommand struct {
	Generation uint64 `arg:"" optional:"" help:"Generation to print; default: the one in force."`
}

// Run prints the generation in INI or JSON form.
func (c *getCommand) Run(e *env) error {
	g, config, err := e.fetchConfig(model.Generation(c.Generation))
	if err != nil {
		return err
	}
	out := struct {
		Generation model.Generation `json:"generation"`
		Config     *model.Config    `json:"config"`
	}{g, config}
	return e.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "# Generation %d.\n%s", g, settings.FormatINI(config))
	})
}

type diffCommand struct {
	Folder     string `arg:"" help:"Folder of INI files." type:"existingdir"`
	Generation uint64 `help:"Generation to compare with; default: the one in force."`
	Against    string `help:"Compare with another folder instead; nothing is sent." type:"existingdir" placeholder:"FOLDER"`
}

// Run prints the differences by section and key.
func (c *diffCommand) Run(e *env) error {
	to, err := settings.LoadConfig(c.Folder)
	if err != nil {
		return invalidFolderError(err)
	}
	from, err := c.from(e)
	if err != nil {
		return err
	}
	differences := settings.Diff(from, to)
	return e.print(differences, func(w io.Writer) { printDifferences(w, differences) })
}

func (c *diffCommand) from(e *env) (*model.Config, error) {
	if c.Against != "" {
		config, err := settings.LoadConfig(c.Against)
		if err != nil {
			return nil, invalidFolderError(err)
		}
		return config, nil
	}
	_, config, err := e.fetchConfig(model.Generation(c.Generation))
	return config, err
}

func printDifferences(w io.Writer, differences []settings.Difference) {
	section := ""
	for _, d := range differences {
		if d.Section != section {
			section = d.Section
			fmt.Fprintf(w, "[%s]\n", section)
		}
		if d.Old != "" {
			fmt.Fprintf(w, "- %s = %s\n", d.Key, d.Old)
		}
		if d.New != "" {
			fmt.Fprintf(w, "+ %s = %s\n", d.Key, d.New)
		}
	}
	if len(differences) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}

type historyCommand struct{}

// Run prints the accepted changes.
func (c *historyCommand) Run(e *env) error {
	var reply wire.ConfigReply
	if err := e.do(wire.MethodConfig, wire.ConfigRequest{List: true}, &reply); err != nil {
		return err
	}
	return e.print(reply.History, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "GENERATION\tACCEPTED\tOPERATOR\tNOTE")
		for _, c := range reply.History {
			at := time.UnixMilli(c.AppliedUnixMillis).UTC().Format(time.RFC3339)
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", c.Generation, at, c.Operator, c.Note)
		}
		_ = table.Flush()
	})
}

type drainCommand struct {
	Kind string `arg:"" help:"What to drain: ${enum}." enum:"endpoint,host"`
	Name string `arg:"" help:"Its name in the configuration."`
}

// Run requests a drain of the endpoint or host.
func (c *drainCommand) Run(e *env) error { return e.drain(c.Kind, c.Name, false) }

type undrainCommand struct {
	Kind string `arg:"" help:"What to give work again: ${enum}." enum:"endpoint,host"`
	Name string `arg:"" help:"Its name in the configuration."`
}

// Run cancels the operator's drain of the endpoint or host.
func (c *undrainCommand) Run(e *env) error { return e.drain(c.Kind, c.Name, true) }

func (e *env) drain(kind, name string, cancel bool) error {
	r := wire.DrainRequest{Cancel: cancel, Operator: certificateName(e.Certificate)}
	if kind == "host" {
		r.Host = model.HostID(name)
	} else {
		r.Endpoint = model.EndpointID(name)
	}
	var reply wire.DrainReply
	if err := e.do(wire.MethodDrain, r, &reply); err != nil {
		return err
	}
	return e.print(r, func(w io.Writer) {
		if cancel {
			fmt.Fprintf(w, "%s %s gets work again\n", kind, name)
			return
		}
		fmt.Fprintf(w, "%s %s gets no new work; see oleanderctl status\n", kind, name)
	})
}

type keysCommand struct {
	Dir   string   `arg:"" help:"Folder to write to."`
	Names []string `arg:"" help:"Names of the hosts and operators."`
}

// Run writes a development authority and a key pair for each name.
func (c *keysCommand) Run(*env) error {
	if err := tlsconf.WriteDevelopmentKeys(c.Dir, c.Names...); err != nil {
		return resultcode.New(resultcode.BadRequest, "write development keys: %v", err)
	}
	return nil
}

type referenceCommand struct{}

// Run prints the settings reference in Markdown.
func (c *referenceCommand) Run(e *env) error {
	_, err := io.WriteString(e.out, settings.Reference())
	return err
}
