// Package logging creates the loggers of the system's components.
//
// Invariant: the message of every line of a component's logger begins with the component's
// name, "NAME: ".
package logging

import (
	"context"
	"io"
	"log/slog"
)

// New returns the root logger of a process, which writes text lines to w. level is debug,
// info, warn or error; any other value means info.
func New(w io.Writer, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l}))
}

// Component returns a logger for one component, whose messages begin with "NAME: ".
func Component(root *slog.Logger, name string) *slog.Logger {
	return slog.New(prefixHandler{Handler: root.Handler(), prefix: name + ": "})
}

type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h prefixHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithAttrs(a), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
