//! Settings of the deployments that the cases play, small draws of their site files.

/// hue-main: lists are asked for; `loan-report` keyed, `title-status` safe, `reader-charge` unsafe and in order.
pub fn hue_main(index: usize, senders: usize) -> String {
    format!(
        r#"{{"az":"floor-2","balancers":{senders},"index":{index},"zones":["floor-2","floor-3"],
"machineTypes":["payment-gateway","school-library","reading-club"],"weights":"rough","discovery":"on_request",
"callers":{{"marksRetry":true}},
"caps":{{"connIdle":15.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":1.0,"maxOpen":92,"maxRetryAfter":3.0,"mayCancel":true,"mayProbe":false,"mostTries":12,"multiplex":1,"peers":false,"retryAfter":true,"secondCopies":true}},
"classes":[
{{"name":"loan-report","aim":4.0,"deadline":16.0,"effect":"deduplicated","group":"all","lateShare":0.4,"streaming":false,"window":10.0,"worth":1.0}},
{{"name":"title-status","aim":1.0,"deadline":6.0,"effect":"idempotent","group":"all","lateShare":0.1,"streaming":false,"window":5.0,"worth":2.0}},
{{"name":"reader-charge","aim":3.0,"deadline":20.0,"effect":"at_most_once","group":"all","lateShare":0.5,"oneAtATime":true,"streaming":false,"window":5.0,"worth":5.0}}],
"countedBy":"request","overShareWorth":0.1,"period":0.005,
"prices":{{"crossZone":0.03,"waste":0.08,"probe":0.0,"handshake":0.04,"lateFail":0.03}},
"realms":[{{"name":"sach-vui","allowancePerS":16.0,"fraction":0.53}},{{"name":"thu-vien-nho","allowancePerS":10.0,"fraction":0.33}},{{"name":"doc-cung-em","allowancePerS":4.0,"fraction":0.14}}],
"report":{{"how":"silent","fields":[]}},
"safety":{{"askEvery":10.0,"cold":11.0,"fall":1.5,"fallMultiple":2.0,"graceToAnswer":0.02,"startCapacity":0.18,"stopSendingWithin":2.0,"turnGap":0.3}},
"serviceType":"deliver",
"specifics":{{"bundleMax":[1,1,1],"callSlots":13,"fades":"even","refusedPrice":0.0,"routesApart":[false,false,false],"zoneFee":[0.0,0.0]}},
"tier":0,"tiers":["partner-systems"]}}"#
    )
}

/// oviedo-portal: lists are asked for, no second copies, routes apart, 250 ms for drains, 1.5 s for connections.
pub fn oviedo_portal() -> String {
    r#"{"az":"edificio-a","balancers":1,"index":0,"zones":["edificio-a","edificio-b","edificio-c"],
"machineTypes":["major-partner","local-partner"],"weights":"rough","discovery":"on_request",
"callers":{"marksRetry":true},
"caps":{"connIdle":15.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":1.5,"maxOpen":92,"maxRetryAfter":2.0,"mayCancel":true,"mayProbe":false,"mostTries":12,"multiplex":8,"peers":false,"retryAfter":true,"secondCopies":false},
"classes":[{"name":"portal-event","aim":3.0,"deadline":16.0,"effect":"deduplicated","group":"zone","lateShare":0.5,"streaming":false,"window":10.0,"worth":1.0}],
"countedBy":"request","period":0.005,
"prices":{"crossZone":0.0,"waste":0.08,"probe":0.0,"handshake":0.06,"lateFail":0.02},
"realms":[],"report":{"how":"silent","fields":[]},
"safety":{"askEvery":10.0,"cold":13.0,"fall":3.0,"fallMultiple":2.0,"graceToAnswer":0.02,"startCapacity":0.23,"stopSendingWithin":0.25},
"serviceType":"deliver",
"specifics":{"bundleMax":[1,1],"callSlots":13,"fades":"by_half","refusedPrice":0.03,"routesApart":[true,true],"zoneFee":[0.06,0.0,0.03]},
"tier":0,"tiers":["partner-systems"]}"#
        .to_string()
}

/// quay-parcels: lists are pushed by the sender's agent, 600 ms for drains.
pub fn quay_parcels() -> String {
    r#"{"az":"north-basin","balancers":1,"index":0,"zones":["north-basin","south-basin","east-basin"],
"machineTypes":["harbour-office","haulier","broker"],"weights":"rough","discovery":"pushed",
"callers":{"marksRetry":true},
"caps":{"connIdle":6.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":1.0,"maxOpen":92,"maxRetryAfter":3.0,"mayCancel":true,"mayProbe":false,"mostTries":6,"multiplex":1,"peers":false,"retryAfter":true,"secondCopies":true},
"classes":[
{"name":"berth-notice","aim":2.0,"deadline":9.0,"effect":"deduplicated","group":"all","lateShare":0.4,"streaming":false,"window":1.0,"worth":1.0},
{"name":"crane-slot","aim":1.0,"deadline":6.0,"effect":"idempotent","group":"all","lateShare":0.1,"streaming":false,"window":5.0,"worth":2.0},
{"name":"customs-form","aim":3.0,"deadline":20.0,"effect":"deduplicated","group":"all","lateShare":0.5,"oneAtATime":true,"streaming":false,"window":1.0,"worth":5.0}],
"countedBy":"request","overShareWorth":0.1,"period":0.005,
"prices":{"crossZone":0.03,"waste":0.12,"probe":0.0,"handshake":0.02,"lateFail":0.03},
"realms":[{"name":"ferry-line","allowancePerS":16.0,"fraction":0.4},{"name":"bulk-cargo","allowancePerS":16.0,"fraction":0.4},{"name":"ro-ro","allowancePerS":8.0,"fraction":0.2}],
"report":{"how":"silent","fields":[]},
"safety":{"cold":11.0,"fall":1.5,"fallMultiple":2.0,"graceToAnswer":0.02,"startCapacity":0.18,"stopSendingWithin":0.6,"turnGap":0.3},
"serviceType":"deliver",
"specifics":{"bundleMax":[1,1,1],"callSlots":13,"fades":"even","refusedPrice":0.0,"routesApart":[false,false,false],"zoneFee":[0.0,0.0,0.0]},
"tier":0,"tiers":["partner-systems"]}"#
        .to_string()
}

/// clinic-orders, with the effect of its class `bed-request`, which is `at_most_once` in the site file.
pub fn clinic_orders(bed_request: &str) -> String {
    format!(
        r#"{{"az":"west-wing","balancers":1,"index":0,"zones":["west-wing","annex"],
"machineTypes":["analyser","ward-desk","depot"],"weights":"rough","discovery":"on_request",
"callers":{{"marksRetry":true}},
"caps":{{"connIdle":15.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeout":1.0,"maxOpen":40,"maxRetryAfter":3.0,"mayCancel":true,"mayProbe":false,"mostTries":4,"multiplex":1,"peers":false,"retryAfter":true,"secondCopies":true}},
"classes":[
{{"name":"lab-result","aim":4.0,"deadline":16.0,"effect":"deduplicated","group":"all","lateShare":0.4,"streaming":false,"window":10.0,"worth":1.0}},
{{"name":"bed-request","aim":1.0,"deadline":6.0,"effect":"{bed_request}","group":"all","lateShare":0.1,"streaming":false,"window":5.0,"worth":2.0}},
{{"name":"dose-order","aim":1.5,"deadline":8.0,"effect":"at_most_once","group":"all","lateShare":0.5,"streaming":false,"window":5.0,"worth":8.0}}],
"countedBy":"request","overShareWorth":0.1,"period":0.005,
"prices":{{"crossZone":0.0,"waste":0.08,"probe":0.0,"handshake":0.04,"lateFail":0.03}},
"realms":[{{"name":"day-care","allowancePerS":16.0,"fraction":0.53}},{{"name":"surgery","allowancePerS":10.0,"fraction":0.33}},{{"name":"outpatients","allowancePerS":4.0,"fraction":0.14}}],
"report":{{"how":"silent","fields":[]}},
"safety":{{"askEvery":10.0,"cold":7.0,"fall":1.5,"fallMultiple":2.0,"graceToAnswer":0.02,"startCapacity":0.18,"stopSendingWithin":1.0}},
"serviceType":"deliver",
"specifics":{{"bundleMax":[1,1,1],"callSlots":9,"fades":"by_half","refusedPrice":0.0,"routesApart":[false,false,false],"zoneFee":[0.0,0.0]}},
"tier":0,"tiers":["partner-systems"]}}"#
    )
}
