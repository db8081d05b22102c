#include "gateway/object_affinity.h"
#include "common/clock.h"
#include "common/hash.h"
#include "gateway/peer_gateways.h"
#include "gateway/request.h"

/* Streams of models are sent where their prompt is cached. */
static bool
is_model_stream(const struct request *request)
{
	const struct service *service =
	    gateway_config_find_service(request->config, request->service);

	return request->route->kind == ROUTE_STREAM &&
	    (service == NULL || service->models ||
		request->attributes.prompt_part_count > 0);
}

void
object_affinity_set(
    const struct request *request, struct backend_request *criteria)
{
	const struct gateway *gateway = request->gateway;
	const struct attributes *attributes = &request->attributes;
	size_t known;
	size_t live;

	if (!request->route->uses_affinity ||
	    attributes->affinity_key[0] == '\0' || is_model_stream(request))
		return;
	criteria->affinity.object =
	    hash_text(attributes->affinity_key, hash_text(request->service, 0));
	criteria->affinity.route = hash_text(request->route->key, 0);
	peer_gateways_count(gateway->peer_gateways, &known, &live);
	backends_find_homes(&gateway->blackboard.backends, criteria,
	    hash_text(attributes->request_id, 0), live, clock_monotonic_us());
}
