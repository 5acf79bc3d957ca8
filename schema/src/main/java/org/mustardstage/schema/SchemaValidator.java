package org.mustardstage.schema;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.networknt.schema.JsonMetaSchema;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.NonValidationKeyword;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Collection;

/** Validates documents against one of the JSON schemas of this module. */
final class SchemaValidator {
  private static final ImmutableList<String> GENERATOR_KEYWORDS =
      ImmutableList.of("javaType", "existingJavaType");
  private static final JsonSchemaFactory FACTORY = newFactory();

  private final JsonSchema schema;

  private SchemaValidator(JsonSchema schema) {
    this.schema = schema;
  }

  /** Returns the validator for the schema from which {@code generatedClass} was generated. */
  static SchemaValidator forClass(Class<?> generatedClass) {
    String resource = generatedClass.getSimpleName() + ".json";
    try (InputStream stream = SchemaValidator.class.getResourceAsStream(resource)) {
      Preconditions.checkArgument(stream != null, "no schema resource for %s", generatedClass);
      return new SchemaValidator(FACTORY.getSchema(stream));
    } catch (IOException e) {
      throw new UncheckedIOException("can't read schema resource " + resource, e);
    }
  }

  /** Returns all violations of the schema in {@code document}. */
  ImmutableList<SchemaViolation> validate(JsonNode document) {
    Collection<ValidationMessage> messages = schema.validate(document);
    return messages.stream()
        .map(message -> SchemaViolation.of(message, document))
        .distinct()
        .collect(toImmutableList());
  }

  private static JsonSchemaFactory newFactory() {
    JsonMetaSchema.Builder dialect = JsonMetaSchema.builder(JsonMetaSchema.getV202012());
    GENERATOR_KEYWORDS.forEach(keyword -> dialect.keyword(new NonValidationKeyword(keyword)));
    return JsonSchemaFactory.builder(JsonSchemaFactory.getInstance(VersionFlag.V202012))
        .metaSchema(dialect.build())
        .build();
  }
}
