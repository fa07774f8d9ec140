package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/figmast/figmast/daemon"
)

// takeBadDurations removes time spans that cannot be read from the command
// line and the environment, and returns a fault for each. go-arg stops at the
// first; the faults are to be listed together with all others.
func takeBadDurations(line []string) (rest []string, faults []error) {
	flags, variables := durationSettings()
	for i := 0; i < len(line); i++ {
		flag, value, joined := strings.Cut(line[i], "=")
		if !flags[flag] || !joined && i+1 == len(line) {
			rest = append(rest, line[i])
			continue
		}
		words := line[i : i+1]
		if !joined {
			i++
			words, value = line[i-1:i+1], line[i]
		}
		if _, err := time.ParseDuration(value); err != nil {
			faults = append(faults, notADuration(flag, value))
			continue
		}
		rest = append(rest, words...)
	}
	for _, name := range variables {
		value, set := os.LookupEnv(name)
		if _, err := time.ParseDuration(value); set && err != nil {
			faults = append(faults, notADuration(name, value))
			_ = os.Unsetenv(name) // the name is a constant without "="
		}
	}
	return rest, faults
}

func notADuration(name, value string) error {
	return fmt.Errorf("%s: %q is no time span such as 250ms or 5s", name, value)
}

// durationSettings returns the flags and the environment variables of the
// settings that are time spans.
func durationSettings() (flags map[string]bool, variables []string) {
	flags = make(map[string]bool)
	t := reflect.TypeFor[daemon.Settings]()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type != reflect.TypeFor[time.Duration]() {
			continue
		}
		for _, part := range strings.Split(f.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				variables = append(variables, name)
			} else {
				flags[part] = true
			}
		}
	}
	return flags, variables
}
