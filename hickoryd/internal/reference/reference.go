// Package reference generates the reference pages from the tables that the program
// itself uses, so that the pages always match the program.
package reference

import (
	"fmt"
	"strings"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/core/setting"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edge"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/operator"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
)

const configurationIntro = `# Configuration

This page is generated from the tables that the programs check against
(` + "`go test ./internal/reference -update`" + ` in the module hickoryd).

Everything is INI text. Unknown keys and keys that stand twice are refused; all
wrong keys are reported at once, with section and key. Durations are written
such as 500ms, 2s or 10m, addresses as an IP number with a port, lists with
commas. A comment begins a line with ; or #.

`

const settingsIntro = `## Settings of a daemon

Each host has one settings file, read at the start of ` + "`hickoryd serve`" + ` and
checked by ` + "`hickoryd check`" + `. It says where the daemon runs. Everything else
comes through the platform, as the entries below.

`

const entriesIntro = `## Entries

Operators change entries with the command ` + "`hickory`" + `. An entry has a kind, a name
(letters, digits, -, _ and .) and an INI text. One change may hold several
entries and applies whole or not at all; it is refused when the configuration
would not be valid with it, such as a service without its profile.

`

type (
	// section describes one kind of configuration entry.
	section struct {
		title string
		about string
		keys  []setting.Key
	}

	// meaning explains one kind of refusal.
	meaning struct {
		text string
		ran  string // whether the request may have run
	}
)

// edgeIntro introduces the settings of hickoryd edge, the daemon on the users'
// platform.
const edgeIntro = `## Settings of a host on the users' platform

Read at the start of ` + "`hickoryd edge`" + `, and checked by ` + "`hickoryd edge --check`" + `.
The platform renders them from ` + "`deploy/settings.ini.tmpl`" + `.

`

// meanings explains every kind of refusal.
var meanings = map[refusal.Kind]meaning{
	refusal.InvalidRequest:        {"the request can't be understood, or a value is out of bounds", "no"},
	refusal.BodyTooLarge:          {"the body is over `maxBodyBytes` of the profile", "no"},
	refusal.HeaderTooLong:         {"a header is over its limit", "no"},
	refusal.UnknownService:        {"no service of this name is bound, or the path is not served", "no"},
	refusal.UnknownModel:          {"no service serves the model, or several do: name one with `X-Service`", "no"},
	refusal.UnknownWorkspace:      {"the workspace in `X-Workspace` is not configured", "no"},
	refusal.MissingIdempotencyKey: {"a call that may not be repeated has no `Idempotency-Key`", "no"},
	refusal.IdempotencyKeyReused:  {"the key came with another body before", "no"},
	refusal.OutcomeUnknown:        {"the call may have run and its answer is lost; it is never run again under this key", "unknown"},
	refusal.Overloaded:            {"the request would miss its targets; ask again after `Retry-After`", "no"},
	refusal.Unavailable:           {"no server or host can take the request now", "no"},
	refusal.ShuttingDown:          {"this host takes no new requests; ask again, another host answers", "no"},
	refusal.ClaimUndecided:        {"nobody can tell now whether the key has run, so the call was not sent", "no"},
	refusal.CrashesServers:        {"requests like this one crash backend servers; don't send it again", "no or unknown"},
	refusal.BackendFailed:         {"a backend server failed and no retry is left", "no or unknown"},
	refusal.BackendTimeout:        {"a backend server did not answer in time", "no or unknown"},
}

// Configuration returns the reference page of all settings and entries.
func Configuration() string {
	var page strings.Builder
	page.WriteString(configurationIntro)
	page.WriteString(settingsIntro)
	writeKeys(&page, settings.Keys())
	page.WriteString(edgeIntro)
	writeKeys(&page, edge.Keys())
	page.WriteString(entriesIntro)
	for _, s := range sections() {
		fmt.Fprintf(&page, "### %s\n\n%s\n\n", s.title, s.about)
		writeKeys(&page, s.keys)
	}
	return page.String()
}

// Refusals returns the table of all refusals that callers may receive. It fails if
// a kind has no meaning.
func Refusals() (string, error) {
	var table strings.Builder
	table.WriteString("| status | code | meaning | run |\n| --- | --- | --- | --- |\n")
	for _, kind := range refusal.Kinds() {
		m, ok := meanings[kind]
		if !ok {
			return "", fmt.Errorf("refusal %s is not explained", kind.Code)
		}
		fmt.Fprintf(&table, "| %d | `%s` | %s | %s |\n", kind.Status, kind.Code, m.text, m.ran)
	}
	return table.String(), nil
}

// OperatorErrors returns the table of all errors of the administration API.
func OperatorErrors() string {
	var table strings.Builder
	table.WriteString("| status | code | meaning |\n| --- | --- | --- |\n")
	for _, kind := range operator.ErrorKinds() {
		fmt.Fprintf(&table, "| %d | `%s` | %s |\n", kind.Status, kind.Code, kind.Meaning)
	}
	return table.String()
}

// ReplaceSection returns page with text in place of what stands between the begin
// and end markers of name.
func ReplaceSection(page, name, text string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, ended := strings.Cut(rest, end)
	if !ok || !ended {
		return "", fmt.Errorf("the page lacks the markers of %s", name)
	}
	return before + begin + text + end + after, nil
}

// sections returns the kinds of configuration entries, in the order of the page.
func sections() []section {
	return []section{
		{"profile", "How a service is run: targets, urgency, limits and retries.", config.ProfileKeys()},
		{"service", "Binds a service to its profile. A service without an entry is refused as not run.", config.ServiceKeys()},
		{"workspace", "A tenant that callers name in `X-Workspace`.", config.WorkspaceKeys()},
		{"host", "A host of the system; `hickory drain` and `hickory undrain` write it.", config.HostKeys()},
		{"pool", "What the engines of a model should run; see design/orders.md.", config.PoolKeys()},
	}
}

// writeKeys writes the tables of keys, one per section of the INI text.
func writeKeys(page *strings.Builder, keys []setting.Key) {
	last := ""
	for _, k := range keys {
		if k.Section != last {
			if last != "" {
				page.WriteString("\n")
			}
			fmt.Fprintf(page, "`[%s]`\n\n| key | default | meaning |\n| --- | --- | --- |\n", k.Section)
			last = k.Section
		}
		defaultValue := "`" + k.Default + "`"
		if k.Default == "" {
			defaultValue = ""
		}
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", k.Name, defaultValue, k.Help)
	}
	page.WriteString("\n")
}
