// Package requestexplain implements "hickory request explain", which prints the lines
// of the hosts' logs that concern one request.
package requestexplain

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/requestlog"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

const timeFormat = "15:04:05.000"

// ErrNotFound means that no log names the request.
var ErrNotFound = errors.New("request not found")

// Options are the options of the command.
type Options struct {
	Streams   factory.Streams
	RequestID string
	Files     []string
	JSON      bool
}

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Streams: f.Streams}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "explain",
		Short:   "print the lines of the hosts' logs that concern one request, and how the request ended",
		Example: "  hickory request explain 7156336abf8b1cc6 /var/log/hickoryfront/*.log\n  cat all.log | hickory request explain 7156336abf8b1cc6\n",
		Flags:   func(flags *flag.FlagSet) { flags.BoolVar(&o.JSON, "json", false, "print JSON") },
		Run: func(_ context.Context, args []string) error {
			if len(args) == 0 || args[0] == "" {
				return factory.Usagef("give the request's id, then the hosts' log files, or the logs on standard input")
			}
			o.RequestID, o.Files = args[0], args[1:]
			return Run(o)
		},
	}
}

// Run prints the request's log lines and the summary.
func Run(o *Options) error {
	reader := requestlog.NewReader(o.RequestID)
	if err := readAll(o, reader); err != nil {
		return err
	}
	found := reader.Report()
	if len(found.Lines) == 0 {
		return fmt.Errorf("%w: %s", ErrNotFound, found.Summary())
	}
	if o.JSON {
		return tableprinter.JSON(o.Streams.Out, jsonReport{Report: found, Summary: found.Summary()})
	}
	return writeReport(o.Streams.Out, found)
}

// jsonReport is the command's JSON output.
type jsonReport struct {
	requestlog.Report
	Summary string `json:"verdict"`
}

func readAll(o *Options, reader *requestlog.Reader) error {
	files := o.Files
	if len(files) == 0 {
		files = []string{factory.StandardInput}
	}
	for _, name := range files {
		if err := readFile(o.Streams, name, reader); err != nil {
			return fmt.Errorf("log %s: %w", name, err)
		}
	}
	return nil
}

func readFile(streams factory.Streams, name string, reader *requestlog.Reader) error {
	file, err := streams.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return reader.Read(file)
}

// writeReport prints a table of the lines, and the summary.
func writeReport(out io.Writer, found requestlog.Report) error {
	rows := make([][]string, 0, len(found.Lines))
	for _, l := range found.Lines {
		rows = append(rows, []string{l.Time.UTC().Format(timeFormat), l.Text("host"), l.Message, details(l)})
	}
	if err := tableprinter.Table(out, []string{"time", "host", "message", "details"}, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", found.Summary())
	return err
}

// details returns a line's fields, except for those that have their own column.
func details(l requestlog.Line) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Text(name); value != "" && name != "host" && name != "request" {
			parts = append(parts, name+"="+value)
		}
	}
	return strings.Join(parts, " ")
}
