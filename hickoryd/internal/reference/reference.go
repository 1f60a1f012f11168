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

This page is generated from the tables against which the programs check their
configuration (` + "`go test ./internal/reference -update`" + ` in the module hickoryd).

All configuration is INI text, except for the operators' document of the users'
platform. Unknown and duplicate keys are rejected; all
invalid keys are reported at once, with section and key. A duration is a number
with a unit, for example 500ms, 2s or 10m. An address is an IP address with a
port. The items of a list are separated by commas. A line that begins with ; or #
is a comment.

`

const settingsIntro = `## Settings of a daemon

Each host has one settings file, read at the start of ` + "`hickoryd serve`" + ` and
checked by ` + "`hickoryd check`" + `. It holds the settings of the host's own daemon.
The configuration of services, workspaces, hosts and pools is stored on the
platform, in the entries described below.

`

const entriesIntro = `## Entries

Operators change entries with the command ` + "`hickory`" + `. An entry has a kind, a name
(letters, digits, -, _ and .) and an INI text. A change may contain several
entries and is applied atomically. It is rejected if the resulting configuration
would be invalid, for example if the profile of a service is missing.

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

The settings file is read at the start of ` + "`hickoryd edge`" + ` and checked by
` + "`hickoryd edge --check`" + `. The platform renders it from ` + "`deploy/settings.ini.tmpl`" + `.

`

// documentSection describes what the operators' document of the users' platform may contain
// besides routes and limits, and what a host makes of malformed values.
const documentSection = `## Document of the operators of the users' platform

The operators' document (JSON, key ` + "`op/config`" + ` of the store) has routes, limits and tenants. A
document that can't be decoded is refused as a whole, and the one before stays in force. A
malformed value of a tenant affects that tenant only, as otherwise one of them would keep
revoked keys valid and new keys refused; it is logged.

| field | meaning | if malformed |
| --- | --- | --- |
| ` + "`routes[].public`" + ` | true: requests need no key | the document is refused |
| ` + "`routes[].traffic-split`" + ` | services with ` + "`service`" + ` and ` + "`weight`" + `, in place of ` + "`service`" + `; the weights of a service that is listed twice are added up | a negative weight counts as 0, otherwise the document is refused |
| ` + "`tenants`" + ` | workspaces; if there is at least one, requests need a key | the document is refused if it is no array |
| ` + "`tenants[].name`" + ` | name of the workspace; not empty, without control characters | the tenant has no keys; others need theirs all the same |
| | the same name twice | the keys of both belong to the workspace, the other values are those of the first |
| ` + "`tenants[].api-keys`" + ` | keys, strings that are not empty | the key is ignored |
| | the same key in two workspaces | the key is refused |
| ` + "`tenants[].priority`" + ` | integer from 0, the most urgent; takes precedence over the route's | the route's applies |
| ` + "`tenants[].rate-per-s`" + `, ` + "`tenants[].burst`" + ` | quota, numbers from 0; rate 0 is no limit | the tenant has no quota |
| ` + "`tenants[].unit`" + ` | ` + "`tokens`" + `, or anything else for requests | requests |
| ` + "`tenants[].plain-tokens`" + ` | tokens of a request without ` + "`Token-Counts`" + `, an integer from 0 | 0 |

`

// meanings explains every kind of refusal.
var meanings = map[refusal.Kind]meaning{
	refusal.InvalidRequest:        {"the request is malformed, or a value is out of bounds", "no"},
	refusal.BodyTooLarge:          {"the body is over `maxBodyBytes` of the profile", "no"},
	refusal.HeaderTooLong:         {"a header is over its limit", "no"},
	refusal.UnknownService:        {"no service of this name is bound, or the path is not served", "no"},
	refusal.UnknownModel:          {"no service serves the model, or several do: name one with `X-Service`", "no"},
	refusal.UnknownWorkspace:      {"the workspace in `X-Workspace` is not configured", "no"},
	refusal.MissingIdempotencyKey: {"a call that may run at most once has no `Idempotency-Key`", "no"},
	refusal.IdempotencyKeyReused:  {"the key was used with another body before", "no"},
	refusal.OutcomeUnknown:        {"the call may have run and its response is lost; it is never run again with this key", "unknown"},
	refusal.Overloaded:            {"the request would miss its targets; retry after the time in `Retry-After`", "no"},
	refusal.Unavailable:           {"no backend server or host can accept the request now", "no"},
	refusal.ShuttingDown:          {"this host accepts no new requests; a retry is served by another host", "no"},
	refusal.ClaimUndecided:        {"no host can determine now whether a call with this key has run, so the call was not sent", "no"},
	refusal.CrashesServers:        {"requests like this one crash backend servers; do not retry", "no or unknown"},
	refusal.BackendFailed:         {"a backend server failed and no retry is left", "no or unknown"},
	refusal.BackendTimeout:        {"a backend server did not respond in time", "no or unknown"},
}

// Configuration returns the reference page of all settings and entries.
func Configuration() string {
	var page strings.Builder
	page.WriteString(configurationIntro)
	page.WriteString(settingsIntro)
	writeKeys(&page, settings.Keys())
	page.WriteString(edgeIntro)
	writeKeys(&page, edge.Keys())
	page.WriteString(documentSection)
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

// ReplaceSection returns page with the content between the begin and end markers of
// name replaced by text.
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
		{"profile", "Defines how a service is run: targets, urgency, limits and retries.", config.ProfileKeys()},
		{"service", "Binds a service to its profile. Requests for a service without an entry are refused and not run.", config.ServiceKeys()},
		{"workspace", "A tenant that callers name in `X-Workspace`.", config.WorkspaceKeys()},
		{"host", "A host of the system; `hickory drain` and `hickory undrain` write it.", config.HostKeys()},
		{"pool", "The desired state of the engines of a model; see design/orders.md.", config.PoolKeys()},
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
