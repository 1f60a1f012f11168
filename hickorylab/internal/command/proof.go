package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/hickoryfront/hickoryfront/hickorylab/proof"
)

const proofPage = "docs/PROOF.md"

// Proof is the command that writes the page of what the tests prove.
type Proof struct {
	errors io.Writer
	root   string
	check  bool
}

// NewProof returns the proof command.
func NewProof(errors io.Writer) *Proof { return &Proof{errors: errors} }

// Name implements subcommands.Command.
func (*Proof) Name() string { return "proof" }

// Synopsis implements subcommands.Command.
func (*Proof) Synopsis() string { return "write the page of what the tests prove" }

// Usage implements subcommands.Command.
func (*Proof) Usage() string {
	return "hickorylab proof --root DIR [--check]\n\nExample:\n  hickorylab proof --root . --check\n\n"
}

// SetFlags implements subcommands.Command.
func (p *Proof) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.root, "root", ".", "root of the repository")
	flags.BoolVar(&p.check, "check", false, "only check that the page is up to date")
}

// Execute implements subcommands.Command.
func (p *Proof) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := p.run(); err != nil {
		fmt.Fprintf(p.errors, "hickorylab: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (p *Proof) run() error {
	statements, err := proof.Collect(os.DirFS(p.root))
	if err != nil {
		return err
	}
	file := filepath.Join(p.root, proofPage)
	page := proof.Render(statements)
	if !p.check {
		return os.WriteFile(file, []byte(page), 0o644)
	}
	current, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if string(current) != page {
		return fmt.Errorf("%s is not up to date: run hickorylab proof to write it", proofPage)
	}
	return nil
}
