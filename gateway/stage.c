#include "gateway/stage.h"
#include "gateway/request.h"

static enum stage_result
enter(struct request *request)
{
	switch (request->stage) {
	case STAGE_CAP:
		return workspace_caps_enter(request);
	case STAGE_ADMISSION:
	case STAGE_DONE:
		break;
	}
	return STAGE_PASSED;
}

void
stage_run(struct request *request)
{
	while (request->stage != STAGE_DONE) {
		switch (enter(request)) {
		case STAGE_PASSED:
			request->stage++;
			break;
		case STAGE_WAITING:
			request_arm_timer(request);
			return;
		case STAGE_ENDED:
			return;
		}
	}
	request_begin(request);
}

void
stage_resume(struct request *request)
{
	request->stage_due_us = 0;
	request->stage++;
	stage_run(request);
}

void
stage_handle_due(struct request *request)
{
	request->stage_due_us = 0;
	switch (request->stage) {
	case STAGE_CAP:
		workspace_caps_handle_due(request);
		return;
	case STAGE_ADMISSION:
	case STAGE_DONE:
		break;
	}
}

void
stage_cancel(struct request *request)
{
	workspace_caps_cancel(request);
}
