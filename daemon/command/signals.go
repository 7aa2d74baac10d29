package command

import (
	"context"
	"os/signal"
	"syscall"
)

// onTermination calls act at each of the next SIGTERM or SIGINT signals, at
// most the given number of times. Act must not block.
func onTermination(times int, act func()) {
	if times == 0 {
		return
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, func() {
		// The next signal is awaited before this one is released, so that none
		// has its default effect in between.
		onTermination(times-1, act)
		release()
		act()
	})
}
