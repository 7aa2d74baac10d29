package script

// command is a command of a script. It fails with an error.
type command func(w *World, args []string) error

// commands are all commands by their names.
func commands() map[string]command {
	return map[string]command{
		"up":            up,
		"daemon":        daemon,
		"confirm":       confirm,
		"terminate":     terminate,
		"crash":         crash,
		"freeze":        freeze,
		"thaw":          thaw,
		"fault":         fault,
		"notice":        notice,
		"relay":         startRelay,
		"cut":           cut,
		"heal":          heal,
		"elapse":        elapse,
		"await":         await,
		"prints":        prints,
		"exits":         exits,
		"callers":       startCallers,
		"callers-check": checkCallers,
		"ran":           ran,
		"mark":          mark,
		"idle-since":    idleSince,
		"dump-has":      dumpHas,
		"logged":        logged,
	}
}
