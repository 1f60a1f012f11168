// Command lab3 plays the cases of review/11 to review/15 that are scripts.
package main

import (
	"fmt"
	"os"
	"time"
)

// record is the file record.txt of a case.
type record struct{ file *os.File }

var began = time.Now()

func (r record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

func (r record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

var cases = map[string]func(record, bool) (isBroken bool, err error){
	"bytes":   caseBytes,
	"leaving": caseLeaving,
	"drill":   caseDrill,
	"popular": casePopular,
	"path":    casePath,
	"missed":  caseMissed,
	"alike":   caseAlike,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "lab3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := record{file}
	isBroken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		os.Exit(2)
	case isBroken:
		r.say("the rule was broken")
		os.Exit(1)
	}
	r.say("the rule held")
}
