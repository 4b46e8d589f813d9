// Command harness2 plays the script cases of the second review: the project's own processes on loopback addresses, with
// stand-ins for servers, clients and the operator that follow the users' pages.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE ROOT RECORD")
		os.Exit(cannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", os.Args[1], trouble)
	broken, err := play(os.Args[2], r, trouble)
	code := ruleHeld
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	case len(broken) > 0:
		code = ruleBroken
	}
	for i, b := range broken {
		if i < 12 {
			r.add("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
	}
	r.add("%d breaks, exit code %d, after %.0f s", len(broken), code, time.Since(r.start).Seconds())
	r.close()
	os.Exit(code)
}
