/** @file
 * The members of each part of a configuration document.
 */
#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include "config/field.h"

extern const struct schema schema_model;
extern const struct schema schema_adapter;
extern const struct schema schema_server;
extern const struct schema schema_endpoint;
extern const struct schema schema_service;
extern const struct schema schema_tool;
extern const struct schema schema_workspace;
extern const struct schema schema_limit;
extern const struct schema schema_document;

#endif
