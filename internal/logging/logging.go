// Package logging sets up the log of a process: one line an event, as key=value pairs that begin with time, level and
// event.
package logging

import (
	"io"
	"log"
	"log/slog"
)

// TimeLayout is the layout of the time of a line, which is in UTC.
const TimeLayout = "2006-01-02T15:04:05.000000Z"

// MessageKey is the key of the message of a line, which is the event.
const MessageKey = "event"

// SetOutput has package log/slog write to w from now on. The returned function restores what was there before.
func SetOutput(w io.Writer) (restore func()) {
	logger, writer, flags := slog.Default(), log.Writer(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr})))
	return func() {
		slog.SetDefault(logger)
		log.SetOutput(writer) // SetDefault has package log write to the handler
		log.SetFlags(flags)
	}
}

// replaceAttr names the message of a line by its key event, and writes the time with microseconds.
func replaceAttr(_ []string, attr slog.Attr) slog.Attr {
	switch attr.Key {
	case slog.MessageKey:
		attr.Key = MessageKey
	case slog.TimeKey:
		attr.Value = slog.StringValue(attr.Value.Time().UTC().Format(TimeLayout))
	}
	return attr
}
