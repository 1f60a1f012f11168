// Package proof collects the statements of the tests about what they prove and
// renders them as a page with a table of faults by steps.
package proof

import (
	"bufio"
	"cmp"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"
)

const (
	linePrefix = "// proof:"
	testPrefix = "func Test"
	noFault    = "none"
)

type (
	// Statement is a line of a test that states what the test proves.
	Statement struct {
		Fault string
		Step  string
		Point int // number in the list of points that must hold, from 1
		Test  string
		File  string // folder of the test file
	}

	// cell is a cell of the table.
	cell struct{ fault, step string }
)

var (
	faults = []string{
		noFault, "daemon killed", "daemon paused", "backend server killed", "backend server leaving", "silent connection",
		"transfer stalled", "KV evicted", "caller cancels", "platform down", "platform slow", "answer lost", "lease lapsed",
		"operators race", "crashing request", "daemons cut off", "failure domain lost",
	}

	steps = []string{
		"accept", "claim", "reserve", "prefill", "prefill done", "transfer", "first token", "stream", "last token", "answer",
		"cancel", "order", "config write", "config spread", "drain",
	}

	points = []string{
		"no engine memory is held for a request that is gone",
		"nothing is answered twice",
		"each caller gets the whole answer to its own request",
		"what is refused as not run was not run",
		"a call that may not be repeated runs at most once",
		"a leaving backend server gets nothing new after a few seconds",
		"a graceful shutdown cuts off nothing in flight",
		"an accepted configuration change is in force everywhere and never reverts",
	}

	requestSteps = []string{
		"accept", "claim", "reserve", "prefill", "prefill done", "transfer", "first token", "stream", "last token", "answer", "cancel",
	}
	engineSteps = []string{"prefill", "prefill done", "transfer", "first token", "stream", "last token"}

	// stepsOf lists the steps that a fault can affect. Faults without an entry
	// can affect every step.
	stepsOf = map[string][]string{
		"silent connection": slices.Concat(requestSteps, []string{"order", "config spread"}),
		"transfer stalled":  {"transfer", "cancel"},
		"KV evicted":        {"prefill done", "transfer"},
		"caller cancels":    requestSteps,
		"operators race":    {"order", "config write", "config spread", "drain"},
		"crashing request":  slices.Concat([]string{"accept", "reserve"}, engineSteps),
		"answer lost":       {"claim", "answer", "cancel", "order", "config write"},
		"lease lapsed":      {"claim", "order", "config write", "drain"},
		"platform down":     {"accept", "claim", "answer", "order", "config write", "config spread", "drain"},
		"platform slow":     {"accept", "claim", "answer", "order", "config write", "config spread", "drain"},
	}
)

// Collect returns the statements in the test files below root, sorted by point,
// folder and test.
func Collect(root fs.FS) ([]Statement, error) {
	var statements []Statement
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		found, err := collectFile(root, name)
		statements = append(statements, found...)
		return err
	})
	slices.SortStableFunc(statements, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Point, b.Point), cmp.Compare(a.File, b.File), cmp.Compare(a.Test, b.Test))
	})
	return statements, err
}

func collectFile(root fs.FS, name string) ([]Statement, error) {
	file, err := root.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var statements, pending []Statement
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, linePrefix); ok {
			statement, err := parse(text)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			pending = append(pending, statement)
			continue
		}
		if !strings.HasPrefix(line, "//") {
			statements = append(statements, assignTest(pending, name, line)...)
			pending = nil
		}
	}
	return statements, lines.Err()
}

// assignTest sets the test and the folder of the pending statements if the line
// declares a test. Otherwise it drops them.
func assignTest(pending []Statement, file, line string) []Statement {
	if !strings.HasPrefix(line, testPrefix) {
		return nil
	}
	test, _, _ := strings.Cut(strings.TrimPrefix(line, "func "), "(")
	for i := range pending {
		pending[i].Test = test
		pending[i].File = path.Dir(file)
	}
	return pending
}

func parse(text string) (Statement, error) {
	parts := strings.Split(text, "|")
	if len(parts) != 3 {
		return Statement{}, fmt.Errorf("proof line %q: want fault | step | point", text)
	}
	point, err := strconv.Atoi(strings.TrimSpace(parts[2]))
	if err != nil || point < 1 || point > len(points) {
		return Statement{}, fmt.Errorf("proof line %q: the point is a number from 1 to %d", text, len(points))
	}
	statement := Statement{Fault: strings.TrimSpace(parts[0]), Step: strings.TrimSpace(parts[1]), Point: point}
	for fault := range strings.SplitSeq(statement.Fault, " + ") {
		if !slices.Contains(faults, fault) {
			return Statement{}, fmt.Errorf("proof line %q: unknown fault %q", text, fault)
		}
	}
	if !slices.Contains(steps, statement.Step) {
		return Statement{}, fmt.Errorf("proof line %q: unknown step %q", text, statement.Step)
	}
	return statement, nil
}

// Render returns the page as Markdown.
func Render(statements []Statement) string {
	var page strings.Builder
	page.WriteString("# What the tests prove\n\nGenerated by `hickorylab proof` from the `proof:` lines of the tests; not to be edited.\n")
	renderPoints(&page, statements)
	renderTable(&page, statements)
	renderPairs(&page, statements)
	renderReasons(&page)
	return page.String()
}

func renderPoints(page *strings.Builder, statements []Statement) {
	page.WriteString("\n## By must-hold point\n")
	for i, point := range points {
		fmt.Fprintf(page, "\n%d. %s\n\n", i+1, point)
		count := 0
		for _, statement := range statements {
			if statement.Point == i+1 {
				fmt.Fprintf(page, "   - %s at %s: `%s` in `%s`\n", statement.Fault, statement.Step, statement.Test, statement.File)
				count++
			}
		}
		if count == 0 {
			page.WriteString("   - not proved\n")
		}
	}
}

func renderTable(page *strings.Builder, statements []Statement) {
	proved := map[cell]bool{}
	for _, statement := range statements {
		proved[cell{statement.Fault, statement.Step}] = true
	}
	page.WriteString("\n## Faults by steps\n\n`yes`: proved; `-`: does not apply, see below; empty: not proved.\n\n")
	page.WriteString("| fault | " + strings.Join(steps, " | ") + " |\n|" + strings.Repeat(" --- |", len(steps)+1) + "\n")
	yes, unproved := 0, 0
	for _, fault := range faults {
		row := make([]string, 0, len(steps))
		for _, step := range steps {
			switch {
			case proved[cell{fault, step}]:
				row = append(row, "yes")
				yes++
			case !isApplicable(fault, step):
				row = append(row, "-")
			default:
				row = append(row, "")
				unproved++
			}
		}
		fmt.Fprintf(page, "| %s | %s |\n", fault, strings.Join(row, " | "))
	}
	fmt.Fprintf(page, "\n%d cells are proved and %d are not.\n", yes, unproved)
}

func renderPairs(page *strings.Builder, statements []Statement) {
	page.WriteString("\n## Pairs of faults\n\n")
	count := 0
	for _, statement := range statements {
		if strings.Contains(statement.Fault, " + ") {
			fmt.Fprintf(page, "- %s at %s (point %d): `%s` in `%s`\n", statement.Fault, statement.Step, statement.Point, statement.Test, statement.File)
			count++
		}
	}
	if count == 0 {
		page.WriteString("None is proved.\n")
	}
}

func renderReasons(page *strings.Builder) {
	page.WriteString("\n## Why cells do not apply\n\nA fault that is listed here can strike only the steps named with it; " +
		"it has no part in the others.\n\n")
	for _, fault := range faults {
		if affected, ok := stepsOf[fault]; ok {
			fmt.Fprintf(page, "- %s: %s\n", fault, strings.Join(affected, ", "))
		}
	}
}

// isApplicable reports whether a fault can affect a step.
func isApplicable(fault, step string) bool {
	affected, restricted := stepsOf[fault]
	return !restricted || slices.Contains(affected, step)
}
