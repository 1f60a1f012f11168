package proof_test

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/hickorylab/proof"
)

func TestCollect(t *testing.T) {
	const header = "package a_test\n\n// TestA does it.\n//\n"
	tests := []struct {
		name    string
		text    string
		want    []proof.Statement
		wantErr string
	}{
		{
			name: "line above a test", text: header + "// proof: platform down | claim | 5\nfunc TestA(t *testing.T) {\n",
			want: []proof.Statement{{Fault: "platform down", Step: "claim", Point: 5, Test: "TestA", File: "a"}},
		},
		{name: "line above no test", text: header + "// proof: platform down | claim | 5\n\nfunc TestA(t *testing.T) {\n"},
		{name: "unknown fault", text: header + "// proof: sunspots | claim | 5\n", wantErr: `unknown fault "sunspots"`},
		{name: "unknown step", text: header + "// proof: platform down | lunch | 5\n", wantErr: `unknown step "lunch"`},
		{name: "point out of range", text: header + "// proof: platform down | claim | 9\n", wantErr: "from 1 to 8"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := proof.Collect(fstest.MapFS{"a/a_test.go": {Data: []byte(tt.text)}})
			if tt.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), tt.wantErr) {
					t.Fatalf("got error %v, want %q", err, tt.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("statements (-want +got):\n%s", diff)
			}
		})
	}
}
