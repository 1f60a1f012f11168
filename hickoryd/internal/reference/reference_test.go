package reference_test

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/reference"
)

const (
	configurationPage = "../../../docs/CONFIGURATION.md"
	apiPage           = "../../../docs/API.md"
)

var update = flag.Bool("update", false, "write the reference pages")

// TestConfigurationPageIsCurrent guards against a configuration page that differs
// from the settings and entries of the program.
func TestConfigurationPageIsCurrent(t *testing.T) {
	compare(t, configurationPage, func(string) (string, error) { return reference.Configuration(), nil })
}

// TestAPIPageListsEveryError guards against an API page whose tables of refusals
// and errors differ from those of the program.
func TestAPIPageListsEveryError(t *testing.T) {
	compare(t, apiPage, func(page string) (string, error) {
		refusals, err := reference.Refusals()
		if err != nil {
			return "", err
		}
		if page, err = reference.ReplaceSection(page, "refusals", refusals); err != nil {
			return "", err
		}
		return reference.ReplaceSection(page, "operator errors", reference.OperatorErrors())
	})
}

// compare checks that a page has the wanted content. With -update it writes the
// wanted content instead.
func compare(t *testing.T, path string, want func(page string) (string, error)) {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil && !*update {
		t.Fatal(err)
	}
	wanted, err := want(string(page))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, []byte(wanted), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(wanted, string(page)); diff != "" {
		t.Errorf("%s is out of date; run go test ./internal/reference -update (-want +got):\n%s", path, diff)
	}
}
