package samples

import "oleanderfall.example/oleanderfall/internal/state/model"

// liveSlotDivisor determines the slots of an engine that training leaves to live requests
// while none of them is queued: one slot in liveSlotDivisor, but at least one.
const liveSlotDivisor = 8

// Quota returns the number of samples, at least one, that a trainer may run concurrently
// on an engine. The slots available to training are divided among the trainers by share;
// totalShare is the sum over the deployment's trainers. queued is the number of live
// requests queued at the engine. While there are any, training gets only the deployment's
// training floor.
func Quota(d model.Deployment, queued int, share, totalShare float64) int {
	slots := float64(d.MaxRunning - max(1, d.MaxRunning/liveSlotDivisor))
	if queued > 0 {
		slots = d.TrainingFloor * float64(d.MaxRunning)
	}
	if totalShare <= 0 {
		return 1
	}
	return max(1, int(slots*share/totalShare))
}
