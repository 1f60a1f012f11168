// Package reportburn implements "hickory report burn", which prints how fast the
// services use up their error budgets.
package reportburn

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/burn"
	"github.com/hickoryfront/hickoryfront/hickory/internal/burnpage"
	"github.com/hickoryfront/hickoryfront/hickory/internal/factory"
	"github.com/hickoryfront/hickoryfront/hickory/internal/tableprinter"
)

const (
	// allDomains is the label of the sum of all failure domains.
	allDomains   = "all"
	noAlarm      = "-"
	pageFileMode = 0o644
)

type (
	// Reader reads the report.
	Reader interface {
		BurnReport(ctx context.Context) (burn.Report, error)
	}

	// Options are the options of the command.
	Options struct {
		Out     io.Writer
		Service string
		JSON    bool
		HTML    string
	}
)

// New returns the command.
func New(f *factory.Factory) *factory.Command {
	o := &Options{Out: f.Streams.Out}
	return &factory.Command{
		Streams: f.Streams,
		Use:     "burn",
		Short:   "print remaining error budgets, burn rates and alarms of the services",
		Example: "  hickory report burn\n  hickory report burn --service cart --json\n  hickory report burn --html burn.html\n",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&o.Service, "service", "", "report one service only")
			flags.BoolVar(&o.JSON, "json", false, "print JSON")
			flags.StringVar(&o.HTML, "html", "", "write a page with plots to `FILE`")
		},
		Run: func(ctx context.Context, args []string) error {
			if err := o.check(args); err != nil {
				return err
			}
			client, err := f.Client()
			if err != nil {
				return err
			}
			return Run(ctx, o, client)
		},
	}
}

// check returns a usage error for arguments and options that don't fit together.
func (o *Options) check(args []string) error {
	if len(args) > 0 {
		return factory.Usagef("report burn takes no arguments; name a service with --service")
	}
	if o.JSON && o.HTML != "" {
		return factory.Usagef("give --json or --html, not both")
	}
	return nil
}

// Run prints the report.
func Run(ctx context.Context, o *Options, reader Reader) error {
	report, err := reader.BurnReport(ctx)
	if err != nil {
		return err
	}
	report = report.ForService(o.Service)
	switch {
	case o.JSON:
		return tableprinter.JSON(o.Out, report)
	case o.HTML != "":
		return writePage(o, report)
	}
	return printTables(o.Out, report)
}

func writePage(o *Options, report burn.Report) error {
	page, err := burnpage.Render(report)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.HTML, page, pageFileMode); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "wrote %s\n", o.HTML)
	return nil
}

func printTables(out io.Writer, report burn.Report) error {
	headings := []string{"service", "objective", "failure domain", "target", "budget left", "burn 5m", "burn 1h", "burn 6h", "answers", "alarm"}
	if err := tableprinter.Table(out, headings, burnRows(report.Rows)); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := tableprinter.Table(out, []string{"service", "time", "count", "p50", "p95", "p99"}, latencyRows(report.Latencies)); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := tableprinter.Table(out, []string{"host", "failure domain", "counts", "wasted prefill", "platform calls", "calls/s"}, hostRows(report)); err != nil {
		return err
	}
	return printGaps(out, report)
}

// printGaps prints which counts are not in the report.
func printGaps(out io.Writer, report burn.Report) error {
	if missing := report.Missing(); len(missing) > 0 {
		fmt.Fprintf(out, "\nNot in this report, because they did not answer: %s\n", strings.Join(missing, ", "))
	}
	if !report.PlatformRead {
		fmt.Fprint(out, "\nThe platform did not answer: counts of hosts that are gone are not in this report.\n")
	}
	return nil
}

func burnRows(rows []burn.Row) [][]string {
	printed := make([][]string, 0, len(rows))
	for _, r := range rows {
		cells := []string{r.Key.Service, string(r.Key.Objective), domainName(r.Key.FailureDomain), percent(r.Share), percent(r.BudgetLeft)}
		for _, w := range r.Windows {
			cells = append(cells, strconv.FormatFloat(w.Rate, 'f', 2, 64))
		}
		total := r.Windows[len(r.Windows)-1].Count.Total()
		printed = append(printed, append(cells, strconv.FormatUint(total, 10), alarmName(r.Alarm)))
	}
	return printed
}

func latencyRows(latencies []burn.LatencySummary) [][]string {
	rows := make([][]string, 0, len(latencies))
	for _, l := range latencies {
		rows = append(rows, []string{
			l.Service, string(l.Objective), strconv.FormatUint(l.Total, 10), seconds(l.P50), seconds(l.P95), seconds(l.P99),
		})
	}
	return rows
}

func hostRows(report burn.Report) [][]string {
	rows := make([][]string, 0, len(report.Hosts))
	for _, h := range report.Hosts {
		var calls uint64
		for _, count := range h.PlatformCalls {
			calls += count
		}
		rows = append(rows, []string{
			h.Host, h.FailureDomain, sourceName(report.At, h), strconv.FormatUint(h.WastedPrefillTokens, 10),
			strconv.FormatUint(calls, 10), strconv.FormatFloat(h.PlatformCallRate, 'f', 2, 64),
		})
	}
	return rows
}

// sourceName returns where a host's counts come from, with their age.
func sourceName(now time.Time, h burn.HostUsage) string {
	if h.Source != burn.SourceSnapshot {
		return string(h.Source)
	}
	age := now.Sub(h.TakenAt).Round(time.Second)
	if h.Alive {
		return fmt.Sprintf("stored %s ago, no answer", age)
	}
	return fmt.Sprintf("stored %s ago, host gone", age)
}

func domainName(domain string) string {
	if domain == burn.AllDomains {
		return allDomains
	}
	return domain
}

func alarmName(alarm burn.Alarm) string {
	if alarm == burn.AlarmNone {
		return noAlarm
	}
	return string(alarm)
}

func percent(share float64) string {
	return strconv.FormatFloat(100*share, 'f', 1, 64) + "%"
}

func seconds(value float64) string {
	const precision = 100 * time.Microsecond
	return time.Duration(value * float64(time.Second)).Round(precision).String()
}
