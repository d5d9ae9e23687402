package ctl

import (
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// statusPollInterval is the delay between two polls for the generations in force.
const statusPollInterval = 250 * time.Millisecond

type checkCommand struct {
	Folder  string `arg:"" help:"Folder of INI files." type:"existingdir"`
	Process bool   `help:"The folder holds one host's own settings."`
}

// Run validates the folder locally.
func (c *checkCommand) Run(e *env) error {
	var err error
	if c.Process {
		_, err = settings.LoadLocalSettings(c.Folder)
	} else {
		_, err = settings.LoadConfig(c.Folder)
	}
	if err != nil {
		return invalidFolderError(err)
	}
	return e.print(struct {
		OK bool `json:"ok"`
	}{true}, func(w io.Writer) { fmt.Fprintln(w, "ok") })
}

func invalidFolderError(err error) error {
	return resultcode.New(resultcode.BadConfiguration, "invalid settings folder:\n%s", err)
}

type applyCommand struct {
	Folder    string  `arg:"" help:"Folder of INI files: the whole shared configuration." type:"existingdir"`
	Base      *uint64 `help:"Generation the folder was made from; a later one in force is a conflict. Default: the one in force now."`
	Note      string  `help:"What the change is for, for the history."`
	Operator  string  `help:"Your name for the history; default: that of your certificate." env:"OLEANDER_OPERATOR"`
	RequestID string  `help:"Repeats an earlier apply whose result is unknown; that one prints its id."`
	Wait      bool    `help:"Wait until every host has the generation in force."`
}

// applied is the JSON form of apply's result.
type applied struct {
	Generation model.Generation `json:"generation"`
	RequestID  string           `json:"request_id"`
	// Hosts counts the live hosts, all of which have the generation in force. It is set
	// only with --wait.
	Hosts int `json:"hosts,omitempty"`
}

// Run commits the folder as the next generation, based on --base or the newest accepted
// generation.
func (c *applyCommand) Run(e *env) error {
	config, err := settings.LoadConfig(c.Folder)
	if err != nil {
		return invalidFolderError(err)
	}
	request, err := c.request(e, config)
	if err != nil {
		return err
	}
	conn, err := e.connect()
	if err != nil {
		return err
	}
	defer conn.close()
	if c.Base == nil {
		if request.Base, err = newestGeneration(e, conn); err != nil {
			return err
		}
	}
	var reply wire.ApplyReply
	if err := conn.call(e.ctx, wire.MethodApply, request, &reply); err != nil {
		return addRepeatHint(c.adjustRepeatError(err), request)
	}
	result := applied{Generation: reply.Generation, RequestID: request.RequestID}
	if c.Wait {
		if result.Hosts, err = waitUntilInForce(e, conn, reply.Generation); err != nil {
			return err
		}
	}
	return e.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "generation %d accepted\n", result.Generation)
		if c.Wait {
			fmt.Fprintf(w, "in force on all %d hosts\n", result.Hosts)
		}
	})
}

func (c *applyCommand) request(e *env, config *model.Config) (wire.ApplyRequest, error) {
	canonical, err := settings.EncodeConfig(config)
	if err != nil {
		return wire.ApplyRequest{}, err
	}
	r := wire.ApplyRequest{Config: canonical, Operator: c.Operator, Note: c.Note, RequestID: c.RequestID}
	if c.Base != nil {
		r.Base = model.Generation(*c.Base)
	}
	if r.Operator == "" {
		r.Operator = certificateName(e.Certificate)
	}
	if r.RequestID == "" {
		r.RequestID = rand.Text()
	}
	return r, nil
}

// adjustRepeatError turns a storage outage into an unknown outcome if --request-id repeats
// an earlier apply: that one may have taken effect.
func (c *applyCommand) adjustRepeatError(err error) error {
	var coded *resultcode.Error
	if c.RequestID != "" && errors.As(err, &coded) && coded.Code == resultcode.StorageOutage {
		return unknownOutcomeError(coded)
	}
	return err
}

// addRepeatHint adds the flags that repeat an apply safely to an error with an unknown
// outcome.
func addRepeatHint(err error, r wire.ApplyRequest) error {
	var coded *resultcode.Error
	if errors.As(err, &coded) && coded.Code.Info().Outcome == resultcode.Unknown {
		return resultcode.New(coded.Code, "%s\nto repeat it safely, add --base %d --request-id %s", coded.Detail, r.Base, r.RequestID)
	}
	return err
}

// certificateName returns the common name of a certificate, or "operator" if the file
// cannot be read or has no common name.
func certificateName(file string) string {
	const defaultName = "operator"
	text, err := os.ReadFile(file)
	if err != nil {
		return defaultName
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return defaultName
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil || cert.Subject.CommonName == "" {
		return defaultName
	}
	return cert.Subject.CommonName
}

// newestGeneration returns the newest accepted generation, 0 before the first.
func newestGeneration(e *env, conn *connection) (model.Generation, error) {
	var reply wire.ConfigReply
	if err := conn.call(e.ctx, wire.MethodConfig, wire.ConfigRequest{List: true}, &reply); err != nil {
		return 0, err
	}
	g := reply.Generation
	if len(reply.History) > 0 {
		g = max(g, reply.History[0].Generation)
	}
	return g, nil
}

// waitUntilInForce waits until every live host has generation g or a later one in force,
// and returns the number of live hosts.
func waitUntilInForce(e *env, conn *connection, g model.Generation) (int, error) {
	var lagging []model.HostID
	for {
		var status wire.StatusReply
		err := conn.call(e.ctx, wire.MethodStatus, wire.StatusRequest{}, &status)
		if err == nil {
			conn.queryLaggingHosts(e.ctx, &status, g)
			var hosts int
			if lagging, hosts = laggingHosts(status, g); len(lagging) == 0 {
				return hosts, nil
			}
		}
		select {
		case <-e.ctx.Done():
			return 0, resultcode.New(resultcode.DeadlineExceeded, "generation %d was accepted but not seen in force before the timeout on hosts %v", g, lagging)
		case <-time.After(statusPollInterval):
		}
	}
}
