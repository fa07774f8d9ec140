// Command review plays one review case against real figmast-gateway processes on
// loopback. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// notRun is the error of a case that could not run.
type notRun struct{ err error }

func (n notRun) Error() string { return "the case could not run: " + n.err.Error() }

// cases returns whether the rule was broken, by case.
var cases = map[string]func(r *recorder, trouble bool) (broken bool, err error){
	"leave": playLeave, "stop": playStop, "crash": playCrash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("%v", notRun{err})
		fmt.Println(notRun{err})
		os.Exit(exitNotRun)
	case broken:
		r.add("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
