package command

import (
	"context"
	"os/signal"
	"syscall"
)

// onTermination calls act at each SIGTERM or SIGINT, at most the given number
// of times; after that the signals have their default effect. act must not
// block.
func onTermination(times int, act func()) {
	if times == 0 {
		return
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, func() {
		// Register for the next signal before releasing this one, so that a
		// signal in between does not have its default effect.
		onTermination(times-1, act)
		release()
		act()
	})
}
